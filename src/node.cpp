#include "node.h"

namespace eelgrassloft {

template class Node<>;

} // namespace eelgrassloft
