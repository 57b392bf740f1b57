// The parts of Boost.Asio and Boost.Beast that are compiled once.

#include "io/asio.h"

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
