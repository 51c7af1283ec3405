#pragma once

#include "agatevane/store/messages.h"
#include <string>
#include <string_view>

//! Encodes and decodes messages in the JSON form of the etcd v3 gateway: bytes are base64, 64-bit integers are
//! strings and fields with the default value may be left out.
namespace agatevane::store {

std::string encode(const RangeRequest& request);
std::string encode(const PutRequest& request);
std::string encode(const DeleteRequest& request);
std::string encode(const Txn& request);
std::string encode(const WatchRequest& request);
std::string encodeLeaseGrant(std::int64_t ttlSeconds);
std::string encodeLeaseId(LeaseId id);

//! Decoders return false on malformed text; the outputs are then unspecified. `revision` is the store's revision when
//! it answered.
bool decode(std::string_view text, RangeResult& result, Revision& revision);
bool decode(std::string_view text, PutResult& result, Revision& revision);
bool decode(std::string_view text, DeleteResult& result, Revision& revision);
bool decode(std::string_view text, TxnResult& result, Revision& revision);
//! Accepts the answers to grant and revoke, and the stream message that answers a keep-alive.
bool decode(std::string_view text, LeaseResult& result, Revision& revision);
bool decode(std::string_view text, WatchResponse& result);

//! The error message in the store's answer to a refused request. If there is none, the first 200 bytes of `text`.
std::string errorText(std::string_view text);

} // namespace agatevane::store
