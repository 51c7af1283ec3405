#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/fleet/model.h"
#include <map>
#include <set>
#include <string>
#include <vector>

//! Evacuation of data centres. From some time after an operator's request until the data centre is taken back, nothing
//! may start there, not even by an order that is repeated. What runs there goes on.
namespace agatevane::fleet {

struct Fleet;
struct Job;
struct Worker;

//! A data centre in which nothing may start.
struct Evacuation {
    Instant requestedAt; //!< when this owner learned of the request
};

struct Evacuations {
    std::map<std::string, Evacuation> byZone;
    //! The requests are known up to now only before this time. From then on nothing starts in any data centre, since
    //! any of them may have been evacuated.
    Instant knownUntil = Instant::max();
};

//! For how long the requests that were read at some time may be relied on, where nothing may start `bound` after a
//! request.
Millis evacuationKnowledgeLimit(Millis bound);

//! An operator has asked to evacuate the data centre. A repeated request changes nothing.
void requestEvacuation(Fleet& fleet, const std::string& zone, Instant at);
//! An operator has taken the data centre back. Its workers are usable at once.
void endEvacuation(Fleet& fleet, const std::string& zone, Instant at);
//! The evacuated data centres are exactly these; all others are taken back.
void replaceEvacuations(Fleet& fleet, const std::set<std::string>& zones, Instant at);
//! To be called when the worker's data centre may have changed.
void updateEvacuationOf(const Fleet& fleet, Worker& worker);

//! True if nothing may start in any data centre, since the requests are not known.
bool areStartsHeld(const Fleet& fleet, Instant at);
//! True if a start may be sent to the worker, as far as evacuations are concerned.
bool mayStartDespiteEvacuations(const Fleet& fleet, const Worker& worker, Instant at);
//! True if the worker gets work only where others have no room: it is in a data centre that was taken back, and either
//! that was a short time ago or the worker is cold.
bool isChosenLast(const Worker& worker, Instant at);
//! True if a run of the task, or of any member of its gang, is in an evacuated data centre. The capacity that its stop
//! would free there could not be used.
bool isRunInEvacuatedZone(const Fleet& fleet, const Job& job, const TaskId& id);

//! Withdraws the starts of these workers that were never sent, and stops those that were sent and have no confirmation,
//! if the workers are in an evacuated data centre. A gang that loses a member is stopped whole.
void withdrawEvacuatedStarts(Fleet& fleet, const std::vector<Worker*>& workers, Instant at);

//! What operators see of an evacuation.
struct EvacuationSummary {
    std::string zone;
    Instant requestedAt;
    std::size_t workers = 0;
    std::size_t runs = 0; //!< runs that were started and have not ended
    std::size_t unconfirmedStarts = 0;
};

std::vector<EvacuationSummary> summarizeEvacuations(const Fleet& fleet);

} // namespace agatevane::fleet
