#include "vanilladeck/store/client.h"

#include <utility>

#include "vanilladeck/store/impl/codec.h"
#include "vanilladeck/store/impl/pool.h"

namespace vanilladeck::store {
namespace {

/// Adapts `done` to an HTTP response: passes errors on and discards the body of a success.
impl::Pool::Done IgnoreBody(RegisterCallback done) {
  return [done = std::move(done)](core::Result<impl::HttpResponse, StoreError> response) {
    if (response.has_error()) return done(core::failure(std::move(response).error()));
    const StoreError error = impl::StatusError(response.value(), "instance list");
    if (response.value().result() == boost::beast::http::status::ok) return done(core::success());
    done(core::failure(error));
  };
}

}  // namespace

core::Result<Client, StoreError> Client::Create(boost::asio::io_context& context,
                                                const ClientSettings& settings) {
  BOOST_OUTCOME_TRY(auto pool, impl::Pool::Create(context, settings));
  return Client(std::move(pool));
}

Client::Client(std::shared_ptr<impl::Pool> pool) noexcept : pool_(std::move(pool)) {}

Client::~Client() {
  if (pool_) pool_->Close();
}

void Client::Call(const Request& request, StoreCallback done) {
  impl::HttpCall call = impl::Encode(request);
  if (call.request.body().size() > kMaxValueBytes) {
    return pool_->Post([done = std::move(done), key = std::move(call.key)] {
      done(core::failure(StoreError{StoreErrorCode::kTooLarge, key}));
    });
  }
  pool_->Start(std::move(call), [request, done = std::move(done)](
                                    core::Result<impl::HttpResponse, StoreError> response) {
    if (response.has_error()) return done(core::failure(std::move(response).error()));
    done(impl::Decode(request, response.value()));
  });
}

void Client::RegisterInstance(const ListedInstance& instance, std::chrono::seconds ttl,
                              RegisterCallback done) {
  auto call = impl::EncodeRegister(instance, ttl);
  if (call.has_error()) {
    return pool_->Post(
        [done = std::move(done), error = std::move(call).error()] { done(core::failure(error)); });
  }
  pool_->Start(std::move(call).value(), IgnoreBody(std::move(done)));
}

void Client::DeregisterInstance(const ListedInstance& instance, RegisterCallback done) {
  pool_->Start(impl::EncodeDeregister(instance), IgnoreBody(std::move(done)));
}

std::size_t Client::pending() const noexcept { return pool_->pending(); }

}  // namespace vanilladeck::store
