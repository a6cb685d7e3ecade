#include "process/child.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace vanilladeck::process {

Child::Child(const std::vector<std::string>& args, std::string output)
    : output_(std::move(output)) {
  std::vector<char*> argv;
  argv.reserve(args.size() + 1);
  for (const auto& it : args) argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kFlags = O_CREAT | O_WRONLY | O_TRUNC;
  constexpr mode_t kMode = 0600;
  const std::string errors = output_ + ".err";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_.c_str(), kFlags, kMode);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(), kFlags, kMode);
  const int error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + args[0]);
}

Child::Child(Child&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)),
      status_(other.status_),
      output_(std::move(other.output_)) {}

Child::~Child() {
  if (pid_ == 0 || status_) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Child::Signal(int number) const {
  if (!status_) kill(pid_, number);
}

std::optional<int> Child::Wait(milliseconds limit) {
  constexpr int kSignalBase = 128;
  (void)Within(limit, [this] {
    int raw = 0;
    if (!status_ && waitpid(pid_, &raw, WNOHANG) == pid_) {
      status_ = WIFEXITED(raw) ? WEXITSTATUS(raw) : kSignalBase + WTERMSIG(raw);
    }
    return status_.has_value();
  });
  return status_;
}

std::string Child::Output() const { return ReadFile(output_); }
std::string Child::Errors() const { return ReadFile(output_ + ".err"); }

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

}  // namespace vanilladeck::process
