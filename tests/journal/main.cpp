#define BOOST_TEST_MODULE journal
#include <boost/test/unit_test.hpp>
