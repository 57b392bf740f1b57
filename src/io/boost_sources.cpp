// Compiles the implementations of Boost.Asio and Boost.Beast once, for all other files.

#include "io/asio.h"

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
