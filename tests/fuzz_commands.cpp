#include "fuzz_commands.h"

#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <ostream>
#include <sstream>

namespace chivelanding::fuzz {
namespace {

using std::chrono::milliseconds;

struct ActionInfo {
  Action Action_;
  const char *Name_;
  /// Frequency relative to the other actions.
  std::size_t Weight_;
};

// Submissions are frequent, so that tasks are running when a fault occurs. Each
// fault is frequent enough that a list of a few tens of commands has several
// faults at the same time.
constexpr ActionInfo Actions[] = {{Action::Submit, "Submit", 10},
                                  {Action::SubmitSingle, "SubmitSingle", 4},
                                  {Action::Resubmit, "Resubmit", 8},
                                  {Action::Cancel, "Cancel", 3},
                                  {Action::Wait, "Wait", 6},
                                  {Action::Kill, "Kill", 2},
                                  {Action::KillAbruptly, "KillAbruptly", 2},
                                  {Action::Start, "Start", 4},
                                  {Action::PauseShort, "PauseShort", 2},
                                  {Action::PauseLong, "PauseLong", 2},
                                  {Action::Drain, "Drain", 2},
                                  {Action::CutOneWay, "CutOneWay", 2},
                                  {Action::CutBothWays, "CutBothWays", 3},
                                  {Action::Heal, "Heal", 3},
                                  {Action::Silence, "Silence", 2},
                                  {Action::Disturb, "Disturb", 2},
                                  {Action::Isolate, "Isolate", 1},
                                  {Action::FailAll, "FailAll", 1},
                                  {Action::Cordon, "Cordon", 4},
                                  {Action::Lift, "Lift", 4}};

constexpr std::uint32_t MaxWait = 3000;
// Time for the processes to connect before the first command.
constexpr Duration WarmUp = std::chrono::seconds(2);

rc::Gen<Command> genCommand() {
  std::vector<Action> Weighted;
  for (const ActionInfo &Info : Actions)
    Weighted.insert(Weighted.end(), Info.Weight_, Info.Action_);
  // Long waits let the suspect and lost times expire between two faults.
  const auto Wait = rc::gen::weightedOneOf<std::uint32_t>(
      {{6, rc::gen::inRange<std::uint32_t>(0, 50)},
       {3, rc::gen::inRange<std::uint32_t>(0, 1000)},
       {1, rc::gen::inRange<std::uint32_t>(0, 2 * MaxWait)}});
  return rc::gen::build<Command>(
      rc::gen::set(&Command::Action_, rc::gen::elementOf(Weighted)),
      rc::gen::set(&Command::A_, rc::gen::inRange<std::uint32_t>(0, 64)),
      rc::gen::set(&Command::B_, rc::gen::inRange<std::uint32_t>(0, 64)),
      rc::gen::set(&Command::WaitMs_, Wait));
}

struct SilentListener : rc::detail::TestListener {
  void onTestCaseFinished(const rc::detail::CaseDescription &) override {}
  void onShrinkTried(const rc::detail::CaseDescription &, bool) override {}
  void onTestFinished(const rc::detail::TestMetadata &,
                      const rc::detail::TestResult &) override {}
};

void isolate(FuzzSimulation &W, std::size_t M) {
  for (std::size_t I = 0; I < W.machines(); ++I)
    if (I != M)
      W.partition(M, I, true);
}

} // namespace

std::ostream &operator<<(std::ostream &Out, const Command &C) {
  const auto *It =
      std::find_if(std::begin(Actions), std::end(Actions),
                   [&](const ActionInfo &I) { return I.Action_ == C.Action_; });
  return Out << "{Action::" << It->Name_ << ", " << C.A_ << ", " << C.B_ << ", "
             << C.WaitMs_ << "}";
}

void showValue(const Command &C, std::ostream &Out) { Out << C; }

std::string describe(const Commands &List) {
  std::ostringstream Out;
  for (const Command &C : List)
    Out << "    " << C << ",\n";
  return Out.str();
}

void apply(FuzzSimulation &W, const Command &C) {
  const std::size_t M = C.A_ % W.machines();
  const std::size_t Other = C.B_ % W.machines();
  const std::size_t Entry = C.A_ % W.entries();
  switch (C.Action_) {
  case Action::Submit:
    W.submit(Entry, 1 + C.B_ % 12, false);
    break;
  case Action::SubmitSingle:
    W.submit(Entry, 1, C.B_ % 2 == 0);
    break;
  case Action::Resubmit:
    if (W.jobs() > 0)
      W.resubmit(W.jobs() - 1 - C.B_ % std::min<std::size_t>(W.jobs(), 4),
                 Entry);
    break;
  case Action::Cancel:
    if (W.jobs() > 0)
      W.cancel(W.jobs() - 1 - C.B_ % std::min<std::size_t>(W.jobs(), 4), Entry);
    break;
  case Action::Wait:
    break;
  case Action::Kill:
    W.kill(M, false);
    break;
  case Action::KillAbruptly:
    W.kill(M, true);
    break;
  case Action::Start:
    W.start(M);
    break;
  case Action::PauseShort:
    W.pause(M, milliseconds(200 + 60 * C.B_));
    break;
  case Action::PauseLong:
    W.pause(M, milliseconds(5000 + 100 * C.B_));
    break;
  case Action::Drain:
    W.drain(M);
    break;
  case Action::CutOneWay:
    W.partition(M, Other, false);
    break;
  case Action::CutBothWays:
    W.partition(M, Other, true);
    break;
  case Action::Heal:
    W.network().heal();
    W.network().setFrameFaults(0, 0, Duration(0));
    break;
  case Action::Silence:
    W.dropTraffic(M, Other, C.B_ % 2 == 0);
    break;
  case Action::Disturb:
    W.network().setFrameFaults(C.A_ % 8, C.B_ % 16, milliseconds(C.B_));
    break;
  case Action::Isolate:
    isolate(W, M);
    break;
  case Action::FailAll:
    W.failAll(M, C.B_ % 2 == 0);
    break;
  case Action::Cordon:
  case Action::Lift:
    W.publishCordon(C.A_ % W.zones(), C.Action_ == Action::Cordon);
    break;
  }
  W.run(milliseconds(C.WaitMs_));
}

RunReport runCommands(const Commands &List, std::uint64_t Seed,
                      const FaultInjector &Inject) {
  SimulationConfig Config;
  Config.Seed_ = Seed;
  FuzzSimulation W(Config);
  W.run(WarmUp);
  if (Inject)
    Inject(W);
  RunReport Report;
  for (const Command &C : List) {
    ++Report.Steps_;
    apply(W, C);
    if (W.oracle().violation())
      break;
  }
  if (!W.oracle().violation())
    W.settle();
  Report.Violation_ = W.oracle().violation();
  Report.Starts_ = W.oracle().starts();
  Report.Completed_ = W.oracle().answers(Outcome::Completed);
  Report.Frames_ = W.network().frames();
  return Report;
}

// rc::check takes its seed from the environment, so this calls checkTestable,
// which takes the seed as a parameter.
SearchReport search(std::uint64_t Seed, std::size_t Steps,
                    const FaultInjector &Inject, std::size_t MaxShrinks) {
  SearchReport Report;
  std::size_t Shrinks = 0;
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = 1;
  Params.maxSize = 60;
  const auto List = rc::gen::resize(Params.maxSize,
                                    rc::gen::container<Commands>(genCommand()));
  for (std::uint64_t CaseSeed = Seed * 1000000;
       Report.Steps_ < Steps && !Report.Violation_; ++CaseSeed) {
    Params.seed = CaseSeed;
    rc::detail::TestMetadata Metadata;
    SilentListener Listener;
    rc::detail::checkTestable(
        [&] {
          const Commands Generated = *List;
          if (Report.Violation_ && Shrinks++ >= MaxShrinks)
            return;
          const RunReport Run = runCommands(Generated, CaseSeed, Inject);
          if (!Report.Violation_) {
            Report.Steps_ += Run.Steps_;
            Report.Starts_ += Run.Starts_;
            Report.Completed_ += Run.Completed_;
            ++Report.Runs_;
          }
          if (Run.Violation_) {
            Report.Violation_ = Run.Violation_;
            Report.Shrunk_ = Generated;
            Report.SimulationSeed_ = CaseSeed;
          }
          RC_ASSERT(!Run.Violation_);
        },
        Metadata, Params, Listener);
  }
  return Report;
}

} // namespace chivelanding::fuzz
