#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <vector>

namespace vanilladeck::platform::testing {

/// A machine's link of limited bandwidth: relays connections and delays what arrives on them, so
/// that all connections together do not exceed the bandwidth.
class SlowLink {
 public:
  SlowLink(boost::asio::io_context& io, double bytes_per_second)
      : io_(io), bytes_per_second_(bytes_per_second) {}

  /// Returns the endpoint at which `target` is reached over this link.
  boost::asio::ip::tcp::endpoint Relay(const boost::asio::ip::tcp::endpoint& target) {
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptors_.emplace_back(io_, any);
    Accept(acceptors_.back(), target);
    return acceptors_.back().local_endpoint();
  }

  /// Closes all connections; later ones are refused.
  void Cut() {
    for (tcp::acceptor& it : acceptors_) it.close();
    for (const std::weak_ptr<Pair>& it : pairs_) {
      if (const auto pair = it.lock()) pair->Close();
    }
  }

  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

 private:
  using tcp = boost::asio::ip::tcp;

  struct Pair {
    explicit Pair(boost::asio::io_context& io, tcp::socket accepted)
        : client(std::move(accepted)), server(io), timer(io) {}
    void Close() {
      boost::system::error_code ignored;
      client.close(ignored);
      server.close(ignored);
    }
    tcp::socket client;
    tcp::socket server;
    boost::asio::steady_timer timer;
    std::array<char, 2048> up{};
    std::array<char, 2048> down{};
  };
  using PairPtr = std::shared_ptr<Pair>;

  void Accept(tcp::acceptor& acceptor, const tcp::endpoint& target) {
    acceptor.async_accept([this, &acceptor, target](boost::system::error_code ec, tcp::socket it) {
      if (ec) return;
      const auto pair = std::make_shared<Pair>(io_, std::move(it));
      pairs_.push_back(pair);
      pair->server.async_connect(target, [this, pair](boost::system::error_code connect_ec) {
        if (connect_ec) {
          pair->Close();
          return;
        }
        SendUp(pair);
        SendDown(pair);
      });
      Accept(acceptor, target);
    });
  }

  void SendUp(const PairPtr& pair) {
    pair->client.async_read_some(
        boost::asio::buffer(pair->up), [this, pair](boost::system::error_code ec, std::size_t n) {
          if (!ec) boost::asio::write(pair->server, boost::asio::buffer(pair->up, n), ec);
          if (ec) {
            pair->Close();
          } else {
            SendUp(pair);
          }
        });
  }

  void SendDown(const PairPtr& pair) {
    pair->server.async_read_some(
        boost::asio::buffer(pair->down), [this, pair](boost::system::error_code ec, std::size_t n) {
          if (ec) {
            pair->Close();
            return;
          }
          const auto now = std::chrono::steady_clock::now();
          const std::chrono::duration<double> time(static_cast<double>(n) / bytes_per_second_);
          free_at_ = std::max(free_at_, now) +
                     std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
          bytes_ += n;
          pair->timer.expires_at(free_at_);
          pair->timer.async_wait([this, pair, n](boost::system::error_code wait_ec) {
            if (!wait_ec) {
              boost::asio::write(pair->client, boost::asio::buffer(pair->down, n), wait_ec);
            }
            if (wait_ec) {
              pair->Close();
            } else {
              SendDown(pair);
            }
          });
        });
  }

  boost::asio::io_context& io_;
  double bytes_per_second_;
  std::list<tcp::acceptor> acceptors_;
  std::vector<std::weak_ptr<Pair>> pairs_;
  std::chrono::steady_clock::time_point free_at_;
  std::size_t bytes_ = 0;
};

}  // namespace vanilladeck::platform::testing
