#pragma once

#include "agatevane/kv/kv.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

//! An encoded desired state as nodes send it to each other: in parts, so that a transfer that breaks off goes on where
//! it stopped, also from another node.
namespace agatevane::node {

//! Size of one part. At 10 Mbit/s it takes 52 ms.
constexpr std::size_t maxPartBytes = 65536;

struct StatePartRequest {
    kv::Revision revision = 0; //!< at offset 0: any revision from this one on; otherwise exactly this one
    std::uint64_t offset = 0; //!< bytes that the asking node has already

    template <typename Archive> void serialize(Archive& archive) { archive(revision, offset); }
};

//! Answer to a StatePartRequest. Without bytes: the answering node does not have what was asked for.
struct StatePart {
    kv::Revision revision = 0;
    std::uint64_t totalBytes = 0; //!< size of the whole encoded state
    std::string bytes;

    template <typename Archive> void serialize(Archive& archive) { archive(revision, totalBytes, bytes); }
};

//! Collects the parts of one revision. At all nodes, the bytes of a revision are the same.
class StateAssembly {
public:
    //! The request for the next part, if the state in force has the revision `inForce`.
    StatePartRequest nextRequest(kv::Revision inForce) const;
    //! False if the part does not continue what has been collected.
    bool add(const StatePartRequest& request, const StatePart& part);
    bool isComplete() const { return totalBytes_ > 0 && bytes_.size() == totalBytes_; }
    kv::Revision revision() const { return revision_; }
    const std::string& bytes() const { return bytes_; }

private:
    kv::Revision revision_ = 0;
    std::uint64_t totalBytes_ = 0;
    std::string bytes_;
};

//! Serves parts of the state in force, and of earlier ones that other nodes have begun to receive from here.
class StateParts {
public:
    void setCurrent(kv::Revision revision, std::string bytes, Instant at);
    StatePart part(const StatePartRequest& request, Instant at);
    kv::Revision revision() const { return revision_; }
    const std::string& bytes() const { return *bytes_; }

private:
    struct Served {
        std::shared_ptr<const std::string> bytes;
        Instant lastAskedAt;
    };

    //! A revision and its bytes; no bytes: it is not here.
    struct Found {
        kv::Revision revision = 0;
        std::shared_ptr<const std::string> bytes;
    };

    Found find(const StatePartRequest& request) const;
    void forgetUnused(Instant at);

    kv::Revision revision_ = 0;
    std::shared_ptr<const std::string> bytes_ = std::make_shared<const std::string>();
    std::map<kv::Revision, Served> served_;
};

} // namespace agatevane::node
