#pragma once

#include "agatevane/http/message.h"
#include "entry/fresh_catalogue.h"
#include "entry/scheduler_client.h"

namespace agatevane::entry {

//! Objects that the job routes use. They must outlive the HTTP server.
struct JobContext {
    FreshCatalogue catalogue;
    SchedulerClient& schedulerClient;
    Millis defaultTimeout;
};

void submitJob(JobContext& context, const http::Request& request, http::Response& response);
void listJobs(JobContext& context, const http::Request& request, http::Response& response);
void showJob(JobContext& context, const http::Request& request, http::Response& response);
void cancelJob(JobContext& context, const http::Request& request, http::Response& response);

} // namespace agatevane::entry
