#pragma once

#include "agatevane/admin/admin.h"

namespace agatevane::admin {

void listCatalogue(const Functions& functions, const http::Request& request, http::Response& response);
void getEntry(const Functions& functions, const http::Request& request, http::Response& response);
void putEntry(const Functions& functions, const http::Request& request, http::Response& response);
void deleteEntry(const Functions& functions, const http::Request& request, http::Response& response);

} // namespace agatevane::admin
