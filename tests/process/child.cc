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

Child::Child(const std::vector<std::string>& args, std::string stdout_path)
    : stdout_path_(std::move(stdout_path)) {
  std::vector<char*> argv;
  argv.reserve(args.size() + 1);
  for (const auto& arg : args) argv.push_back(const_cast<char*>(arg.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kFlags = O_CREAT | O_WRONLY | O_TRUNC;
  constexpr mode_t kMode = 0600;
  const std::string stderr_path = stdout_path_ + ".err";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, stdout_path_.c_str(), kFlags, kMode);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, stderr_path.c_str(), kFlags, kMode);
  const int error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + args[0]);
}

Child::Child(Child&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)),
      exit_status_(other.exit_status_),
      stdout_path_(std::move(other.stdout_path_)) {}

Child::~Child() {
  if (pid_ == 0 || exit_status_) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Child::Signal(int signal_number) const {
  if (!exit_status_) kill(pid_, signal_number);
}

std::optional<int> Child::Wait(milliseconds timeout) {
  constexpr int kSignalBase = 128;
  (void)WaitUntil(timeout, [this] {
    int wait_status = 0;
    if (!exit_status_ && waitpid(pid_, &wait_status, WNOHANG) == pid_) {
      exit_status_ =
          WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : kSignalBase + WTERMSIG(wait_status);
    }
    return exit_status_.has_value();
  });
  return exit_status_;
}

std::string Child::Stdout() const { return ReadFile(stdout_path_); }
std::string Child::Stderr() const { return ReadFile(stdout_path_ + ".err"); }

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

}  // namespace vanilladeck::process
