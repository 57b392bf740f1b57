#include "control_node.h"

namespace eelgrassloft {

template class ControlNode<>;

} // namespace eelgrassloft
