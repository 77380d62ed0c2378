// One program for all cases: standin CASE RECORD
#include "harness.h"

namespace review {

void CannotRun(const std::string& why) {
  Note("can't run: %s", why.c_str());
  fprintf(stderr, "can't run: %s\n", why.c_str());
  _exit(2);
}
bool Trouble() {
  const char* t = getenv("TROUBLE");
  return t == nullptr || strcmp(t, "0") != 0;
}

int RunShutdownQueue();
int RunNoTenants();
int RunLateHeartbeat();
int RunInnocentQuarantine();

}  // namespace review

int main(int argc, char** argv) {
  using namespace review;
  signal(SIGPIPE, SIG_IGN);
  if (argc < 3) {
    fprintf(stderr, "usage: standin CASE RECORD\n");
    return 2;
  }
  record_file = fopen(argv[2], "w");
  const std::string which = argv[1];
  int result = 2;
  if (which == "shutdown-queue") {
    result = RunShutdownQueue();
  } else if (which == "late-heartbeat") {
    result = RunLateHeartbeat();
  } else if (which == "no-tenants") {
    result = RunNoTenants();
  } else if (which == "innocent-quarantine") {
    result = RunInnocentQuarantine();
  }
  Note("exit %d", result);
  return result;
}
