#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

int main(int argc, char** argv)
{
    // Properties draw the same cases every run; a seed in the environment explores others.
    setenv("RC_PARAMS", "seed=20261202 max_success=100", 0);
    return Catch::Session().run(argc, argv);
}
