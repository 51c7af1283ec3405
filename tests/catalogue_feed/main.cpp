#define BOOST_TEST_MODULE catalogue_feed
#include <boost/test/unit_test.hpp>
