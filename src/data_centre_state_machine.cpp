#include "data_centre_state_machine.h"

namespace eelgrassloft {

DataCentreStateMachine::Result DataCentreStateMachine::apply(Time at, const Command& command)
{
    idempotencyRecords.expire(at);
    if (const auto* claim = std::get_if<ClaimKey>(&command))
        return idempotencyRecords.claim(at, *claim);
    if (const auto* settle = std::get_if<SettleKey>(&command))
        return idempotencyRecords.settle(*settle);
    return tasks.apply(at, std::get<TaskCommand>(command));
}

} // namespace eelgrassloft
