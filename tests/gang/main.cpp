#define BOOST_TEST_MODULE gang
#include <boost/test/unit_test.hpp>
