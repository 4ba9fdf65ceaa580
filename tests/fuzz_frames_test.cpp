#include "fuzz_simulation.h"
#include "start_controller.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <random>

using namespace chivelanding;
using namespace chivelanding::fuzz;

namespace {

constexpr std::size_t MaxFrameBytes = std::size_t(1) << 20;

// Frames that the processes of a short simulation exchange, in both directions.
std::vector<std::string> recordFrames(std::uint64_t Seed) {
  SimulationConfig Config;
  Config.Seed_ = Seed;
  FuzzSimulation W(Config);
  std::vector<std::string> Frames;
  W.network().Mutate_ = [&](const std::string &, const std::string &Bytes) {
    Frames.push_back(Bytes);
    return std::vector<std::string>{Bytes};
  };
  W.run(std::chrono::seconds(1));
  for (std::size_t I = 0; I < 12; ++I)
    W.submit(I % W.entries(), 1 + I, false);
  W.resubmit(0, 1);
  W.cancel(3, 0);
  W.kill(2, true);
  W.run(std::chrono::seconds(8));
  W.resubmit(2, 0);
  W.run(std::chrono::seconds(6));
  return Frames;
}

std::string mutate(std::string Bytes, std::mt19937_64 &Random) {
  const auto Pick = [&](std::size_t Below) { return Random() % Below; };
  const std::size_t Changes = 1 + Pick(4);
  for (std::size_t I = 0; I < Changes && !Bytes.empty(); ++I) {
    const std::size_t At = Pick(Bytes.size());
    switch (Pick(4)) {
    case 0:
      Bytes[At] = static_cast<char>(Random());
      break;
    case 1:
      Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << Pick(8)));
      break;
    case 2:
      Bytes.erase(At, 1 + Pick(4));
      break;
    default:
      Bytes.insert(At, 1 + Pick(3), static_cast<char>(Random()));
    }
  }
  return Bytes;
}

} // namespace

// Guards against a crash or an exception on malformed frames, and against
// refusing them without a code or a detail.
TEST_CASE("Mutated frames are decoded or refused", "[frames]") {
  const auto Frames = recordFrames(7);
  std::mt19937_64 Random(7);
  std::size_t Refused = 0;
  for (int I = 0; I < 20000; ++I) {
    const std::string Bytes = mutate(Frames[Random() % Frames.size()], Random);
    const auto R = decodeFrame(Bytes, MaxFrameBytes);
    if (ok(R))
      continue;
    ++Refused;
    REQUIRE(error(R).Code_ == "bad_frame");
    REQUIRE_FALSE(error(R).Detail_.empty());
  }
  std::cout << "refused " << Refused << " of 20000 mutated frames\n";
  CHECK(Refused > 1000);
}

// Guards against decision code that crashes on well-formed messages with
// invalid content, as a faulty peer may send.
TEST_CASE("Processes survive mutated frames", "[frames]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  SimulationConfig Config;
  Config.Seed_ = Seed;
  FuzzSimulation W(Config);
  std::mt19937_64 Random(Seed);
  W.network().Mutate_ = [&](const std::string &, const std::string &Bytes) {
    return std::vector<std::string>{Random() % 20 == 0 ? mutate(Bytes, Random)
                                                       : Bytes};
  };
  for (std::size_t I = 0; I < 60; ++I) {
    W.submit(I % W.entries(), 1 + I % 9, false);
    W.run(std::chrono::milliseconds(300));
  }
  W.network().Mutate_ = nullptr;
  W.run(std::chrono::seconds(20));
  const auto Before = W.oracle().answers(Outcome::Completed);
  W.submit(0, 4, false);
  W.run(std::chrono::seconds(10));
  CHECK(W.oracle().answers(Outcome::Completed) > Before);
}
