#include "resource_plan.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

// Guards against shares that together exceed the smallest VMs that the product
// runs on, an entry of 160 MB and an agent of 128 MB.
TEST_CASE("The shares of a process fit into its limits", "[resources]") {
  for (const ResourceLimits &L :
       {ResourceLimits{160, 4100}, ResourceLimits{128, 4096},
        ResourceLimits{32, 128}, ResourceLimits{1024, 4100}}) {
    const ResourcePlan P = planResources(L);
    const std::uint64_t Memory = std::uint64_t(L.MemoryMb_) << 20;
    CHECK(P.RequestBytes_ + P.JobBytes_ + P.PeerBytes_ <= Memory / 2);
    // Two listeners for checks and metrics, and 10 descriptors of the program.
    CHECK(P.CallerConnections_ + P.PeerConnections_ + 2 * P.StatusConnections_ +
              10 <=
          L.Descriptors_);
    CHECK(P.CallerConnections_ > P.PeerConnections_);
    CHECK(P.StatusConnections_ >= 4);
  }
}
