#include "vanilladeck/peer/impl/server.h"

#include <kj/debug.h>

#include <utility>

#include "vanilladeck/peer/impl/wire.h"

namespace vanilladeck::peer::impl {
namespace {

std::string Text(capnp::Text::Reader from) { return {from.begin(), from.size()}; }

unsigned Size(const std::vector<std::string>& list) { return static_cast<unsigned>(list.size()); }

}  // namespace

kj::Promise<Answer> PendingCalls::Dispatch(Call call) {
  const std::uint64_t id = next_id_++;
  auto pair = kj::newPromiseAndFulfiller<Answer>();
  if (!sink_(IncomingCall{id, std::move(call)})) {
    return KJ_EXCEPTION(OVERLOADED, "too many calls wait for an answer");
  }
  fulfillers_.emplace(id, kj::mv(pair.fulfiller));
  // The promise is dropped when the peer cancels the call or loses its connection.
  return pair.promise.attach(kj::defer([this, id] { OnCancelled(id); }));
}

void PendingCalls::Fulfill(std::uint64_t id, Answer answer) {
  auto it = fulfillers_.find(id);
  if (it == fulfillers_.end()) return;
  auto fulfiller = kj::mv(it->second);
  fulfillers_.erase(it);
  fulfiller->fulfill(kj::mv(answer));
}

void PendingCalls::OnCancelled(std::uint64_t id) {
  if (fulfillers_.erase(id) == 0) return;
  (void)sink_(IncomingCallCancelled{id});
}

kj::Promise<void> Server::heartbeat(HeartbeatContext context) {
  return pending_.Dispatch(Decode(context.getParams().getOwn()))
      .then([context](Answer answer) mutable {
        Encode(std::get<membership::Heartbeat>(answer), context.getResults().initPeer());
      });
}

kj::Promise<void> Server::forward(ForwardContext context) {
  auto request = Decode(context.getParams().getRequest());
  context.allowCancellation();
  return pending_.Dispatch(std::move(request)).then([context](Answer answer) mutable {
    Encode(std::get<ForwardReply>(answer), context.getResults().initReply());
  });
}

kj::Promise<void> Server::claim(ClaimContext context) {
  return pending_.Dispatch(Decode(context.getParams().getRequest()))
      .then([context](Answer answer) mutable {
        Encode(std::get<operations::ClaimReply>(answer), context.getResults().initReply());
      });
}

kj::Promise<void> Server::complete(CompleteContext context) {
  return pending_.Dispatch(Decode(context.getParams().getRequest()))
      .then([context](Answer answer) mutable {
        context.getResults().setRecorded(std::get<operations::CompleteReply>(answer).recorded);
      });
}

kj::Promise<void> Server::credits(CreditsContext context) {
  return pending_.Dispatch(Decode(context.getParams().getRequest()))
      .then([context](Answer answer) mutable {
        Encode(std::get<CreditGrant>(answer), context.getResults().initGrant());
      });
}

kj::Promise<void> Server::fetchVersions(FetchVersionsContext context) {
  auto params = context.getParams();
  return pending_.Dispatch(FetchVersions{Text(params.getDeployment()), params.getAfter()})
      .then([context](Answer answer) mutable {
        const auto& records = std::get<Versions>(answer).records;
        Encode(records, context.getResults().initRecords(Size(records)));
      });
}

kj::Promise<void> Server::fetchServers(FetchServersContext context) {
  return pending_.Dispatch(FetchServers{}).then([context](Answer answer) mutable {
    const auto& servers = std::get<Servers>(answer).servers;
    Encode(servers, context.getResults().initServers(static_cast<unsigned>(servers.size())));
  });
}

kj::Promise<void> Server::confirmSeat(ConfirmSeatContext context) {
  return pending_.Dispatch(ConfirmSeat{Decode(context.getParams().getClaim())})
      .then([context](Answer answer) mutable {
        context.getResults().setConfirmed(std::get<SeatConfirmed>(answer).confirmed);
      });
}

kj::Promise<void> Server::announceSeat(AnnounceSeatContext context) {
  return pending_.Dispatch(AnnounceSeat{Decode(context.getParams().getClaim())}).ignoreResult();
}

}  // namespace vanilladeck::peer::impl
