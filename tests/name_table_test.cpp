#include "peer_messages.h"

#include "eelgrassloft/effects.h"
#include "eelgrassloft/error.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace eelgrassloft;

namespace {

template <CountedEnum E>
void checkTable()
{
    std::set<std::string_view> names;
    forEachValue<E>([&](E value) {
        BOOST_TEST(!name(value).empty());
        BOOST_TEST(names.insert(name(value)).second);
        BOOST_TEST((parseName<E>(name(value)) == value));
    });
    BOOST_TEST(!parseName<E>("no such name").has_value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(NameTables)

BOOST_AUTO_TEST_CASE(everyValueHasAUniqueName)
{
    checkTable<Outcome>();
    checkTable<RefusalReason>();
    checkTable<UnknownReason>();
    checkTable<AttemptFailure>();
    checkTable<ErrorKind>();
    checkTable<LogEventKind>();
    checkTable<PeerMessageKind>();
    checkTable<TaskState>();
    checkTable<WaitReason>();
    checkTable<WorkerCommandKind>();
}

BOOST_AUTO_TEST_CASE(everyReasonHasARemedy)
{
    forEachValue<RefusalReason>([](RefusalReason reason) { BOOST_TEST(!remedy(reason).empty()); });
    forEachValue<UnknownReason>([](UnknownReason reason) { BOOST_TEST(!remedy(reason).empty()); });
}

BOOST_AUTO_TEST_SUITE_END()
