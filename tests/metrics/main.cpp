#define BOOST_TEST_MODULE metrics
#include <boost/test/unit_test.hpp>
