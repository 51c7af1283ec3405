#define BOOST_TEST_MODULE catalogue
#include <boost/test/unit_test.hpp>
