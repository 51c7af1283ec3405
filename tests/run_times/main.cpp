#define BOOST_TEST_MODULE run_times
#include <boost/test/unit_test.hpp>
