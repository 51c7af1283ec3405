#pragma once

#include "agatevane/idempotency/claim_flow.h"
#include "agatevane/store/messages.h"
#include <string>
#include <vector>

//! Group commit: many claims in one transaction of the store, each as a nested transaction of its own.
namespace agatevane {

struct ClaimWrite {
    std::string key; //!< of the store
    WriteClaim write;
};

//! `lease` bounds how long the records are kept; 0: for ever. No two writes may have the same key.
store::Txn toTxn(const std::vector<ClaimWrite>& batch, store::LeaseId lease);

//! What became of each write of the batch, in its order. `revision` is that of the store's answer. Empty if the answer
//! has another form.
std::vector<ClaimWritten> resultsOf(
    const std::vector<ClaimWrite>& batch, const store::TxnResult& result, store::Revision revision);

} // namespace agatevane
