#define BOOST_TEST_MODULE eelgrassloft
#define BOOST_TEST_NO_MAIN
#include <boost/test/unit_test.hpp>

#include <cstdlib>

int main(int argc, char** argv)
{
    // Fixed seed for reproducible runs, unless RC_PARAMS in the environment sets another one.
    ::setenv("RC_PARAMS", "seed=20261204 max_success=40", 0);
    return boost::unit_test::unit_test_main([]() { return true; }, argc, argv);
}
