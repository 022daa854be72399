/// \file Fuzzes settings and charts: any text gives errors or settings, never a crash.

#include "Chart/Charts.h"
#include "Load/LoadSpec.h"
#include "Settings/NodeSettings.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <unistd.h>

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer asks for this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    static const auto path = "/tmp/robinrun-fuzz-" + std::to_string(getpid()) + ".yaml";
    std::ofstream(path, std::ios::binary)
        .write(reinterpret_cast<const char*>(data), static_cast<std::streamsize>(n));
    (void)robinrun::NodeSettings::load(path);
    (void)robinrun::LoadSpec::load(path);
    (void)robinrun::LifeChart::load(path, "upstream");
    return 0;
}
