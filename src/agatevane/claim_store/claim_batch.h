#pragma once

#include "agatevane/idempotency/claim_flow.h"
#include "agatevane/store/messages.h"
#include <string>
#include <vector>

//! Group commit: writes many claims in one store transaction, each as a nested transaction that succeeds or fails
//! alone.
namespace agatevane {

struct ClaimWrite {
    std::string key; //!< key of the record in the store
    WriteClaim write;
};

//! Builds the transaction for a batch. `lease` bounds how long the records are kept; 0 keeps them without a time limit.
//! No two writes may have the same key.
store::Txn toTxn(const std::vector<ClaimWrite>& batch, store::LeaseId lease);

//! Returns the result of each write in the order of the batch. `revision` is the revision in the store's answer.
//! Returns an empty list if the answer does not have the form of `toTxn`'s transaction.
std::vector<ClaimWritten> resultsOf(
    const std::vector<ClaimWrite>& batch, const store::TxnResult& result, store::Revision revision);

} // namespace agatevane
