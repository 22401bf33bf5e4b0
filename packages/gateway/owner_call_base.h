/// @file
/// Brings callers' calls about partitions of others to their owners.

#ifndef CAMPHORNOTCH_GATEWAY_OWNER_CALL_BASE_H
#define CAMPHORNOTCH_GATEWAY_OWNER_CALL_BASE_H

#include "core/batch/owner_table_base.h"
#include "net/http_client_base.h"
#include "net/http_server_base.h"
#include "net/metrics_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphornotch {

/// A call about a partition that another process owns.
struct OwnerCall {
  /// The partition.
  PartitionId Where;
  /// The caller's request.
  std::shared_ptr<HttpExchange> Exchange;
  /// Time that the owner may take besides its way.
  Millis Wait{0};
  /// Serves the call if this process reads the partition by now; returns
  /// whether it did.
  std::function<bool()> ServeIfRead;
  /// Serves the call from this process's own reading.
  std::function<void()> ReadHere;
  /// Tells the caller to come again, and why.
  std::function<void(std::string_view)> ComeAgain;
};

/// Asks owners, and the store for who they are.
class OwnerCallTask {
public:
  /// @param Events the loop.
  /// @param Http sends the calls.
  /// @param Store knows the owners.
  /// @param Counts counts the calls by outcome.
  /// @param Group the owners' group.
  OwnerCallTask(Loop &Events, HttpClient &Http, platform::StoreClient &Store,
                Metrics &Counts, std::string Group);

  /// Names this process.
  /// @param Self its member name, which is never asked.
  void begin(const std::string &Self) { this->Owners = OwnerTable(Self); }

  /// Brings a call to its owner and the owner's answer to the caller, or has it
  /// served without the owner.
  /// @param Call the call.
  void ask(OwnerCall Call);

  /// Takes the group's generation.
  /// @param Generation the generation, as a join told it.
  void generationSeen(int64_t Generation) {
    this->Owners.noteGeneration(Generation);
  }

private:
  /// A call and what was done for it.
  struct Course {
    /// The call.
    OwnerCall Call;
    /// Steps so far.
    int Steps = 0;
    /// When it came.
    Millis Since{0};
  };

  /// Takes a call's next step.
  /// @param Each the call.
  void proceed(const std::shared_ptr<Course> &Each);
  /// @param Each a call.
  /// @param Advice its next step.
  void follow(const std::shared_ptr<Course> &Each, const OwnerDecision &Advice);
  /// Tries a call again soon, or tells its caller to come again.
  /// @param Each the call.
  /// @param Cause why no owner serves it.
  void hold(const std::shared_ptr<Course> &Each, std::string_view Cause);
  /// Sends a call to its owner.
  /// @param Each the call.
  /// @param Owner the owner.
  /// @param Fresh whether it goes on a connection of its own, as a kept one
  ///   broke.
  void send(const std::shared_ptr<Course> &Each, const OwnerMember &Owner,
            bool Fresh);
  /// @param Each a call.
  /// @param Owner who was asked.
  /// @param SentAt when.
  /// @param Response what it answered.
  void onAnswer(const std::shared_ptr<Course> &Each, const OwnerMember &Owner,
                Millis SentAt, HttpResponse Response);
  /// @param Each a call.
  /// @param Owner who was asked.
  /// @param SentAt when.
  /// @param Cause why there is no answer.
  void onSilence(const std::shared_ptr<Course> &Each, const OwnerMember &Owner,
                 Millis SentAt, std::string_view Cause);
  /// Says that an owner did not serve a call.
  /// @param Each the call.
  /// @param Owner who was asked.
  /// @param SentAt when.
  /// @param Cause why not.
  static void noteUnserved(const Course &Each, const OwnerMember &Owner,
                           Millis SentAt, std::string_view Cause);
  /// Asks the store for the owners, if it is time.
  void lookUp();
  /// Takes the store's answer, and lets the calls go on that wait for it.
  /// @param Found the owners, or why they are not known.
  /// @param Took the time since the store was asked.
  void onOwners(const StoreResult<std::vector<PartitionOwner>> &Found,
                Millis Took);

  /// The loop.
  Loop &Events;
  /// Sends the calls.
  HttpClient &Http;
  /// Knows the owners.
  platform::StoreClient &Store;
  /// The owners' group.
  std::string Group;
  /// What is known of the owners.
  OwnerTable Owners{std::string()};
  /// Calls that wait for the store to tell the owners.
  std::vector<std::shared_ptr<Course>> Awaiting;
  /// Calls that owners answered.
  prometheus::Counter &Answered;
  /// Calls that members refused, as they do not own the partition.
  prometheus::Counter &Refused;
  /// Calls to owners that had not read their partitions.
  prometheus::Counter &Reading;
  /// Calls that got no answer.
  prometheus::Counter &Silent;
  /// Callers that were told to come again.
  prometheus::Counter &ToldToWait;
  /// Calls served from this process's own reading.
  prometheus::Counter &ReadHere;
};

/// @param Request a request to the address for peers.
/// @return the member that it is meant for.
std::string_view memberAsked(const HttpRequest &Request);

/// Marks an answer to a peer with the member that gave it: another process may
/// listen at the address by now.
/// @param Request the request.
/// @param Response its answer.
void markAnswer(const HttpRequest &Request, HttpResponse &Response);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_OWNER_CALL_BASE_H
