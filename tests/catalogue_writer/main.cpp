#define BOOST_TEST_MODULE catalogue_writer
#include <boost/test/unit_test.hpp>
