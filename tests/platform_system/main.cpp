#define BOOST_TEST_MODULE platform_system
#include <boost/test/unit_test.hpp>
