#define BOOST_TEST_MODULE upkeep
#include <boost/test/unit_test.hpp>
