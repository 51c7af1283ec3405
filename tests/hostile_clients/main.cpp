#define BOOST_TEST_MODULE hostile_clients
#include <boost/test/unit_test.hpp>
