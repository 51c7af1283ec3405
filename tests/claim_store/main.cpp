#define BOOST_TEST_MODULE claim_store
#include <boost/test/unit_test.hpp>
