#pragma once

#include "eelgrassloft/record.h"

#include <cstddef>
#include <iterator>
#include <utility>

namespace eelgrassloft {

/// Where a part of a state begins: a container, by its place among the state's containers, and an
/// element of it.
struct PartPosition {
    size_t container = 0;
    size_t element = 0;
};

namespace detail {

template <typename T>
inline constexpr bool isContainer = IsMap<T>::value || IsVector<T>::value;

/// Calls `visit` with each member of `a` and the same member of `b`.
template <Record T, typename A, typename B, typename Visitor>
void forEachMemberOfBoth(A& a, B& b, Visitor&& visit)
{
    std::apply([&](auto... member) { (visit(a.*member, b.*member), ...); }, T::members());
}

template <typename Element>
size_t elementSize(const Element& element)
{
    return encodedSize(element);
}

template <typename Key, typename Element>
size_t elementSize(const std::pair<const Key, Element>& entry)
{
    return encodedSize(entry.first) + encodedSize(entry.second);
}

/// Copies elements of a state's containers until the part has its size.
class PartCopier {
public:
    PartCopier(PartPosition begin, size_t maxBytes)
        : m_begin(begin)
        , m_maxBytes(maxBytes)
    {
    }

    template <typename T>
    void copy(const T& from, T& to)
    {
        if constexpr (isContainer<T>)
            copyElements(from, to);
        else if constexpr (Record<T>)
            forEachMemberOfBoth<T>(from, to, [&](const auto& source, auto& target) { copy(source, target); });
        else if (isFirstPart())
            to = from;
    }

    /// Begin of the next part, or nothing after the last one.
    std::optional<PartPosition> next() const { return m_next; }

private:
    bool isFirstPart() const { return m_begin.container == 0 && m_begin.element == 0; }

    template <typename T>
    void copyElements(const T& from, T& to)
    {
        const size_t container = m_container++;
        if (m_next || container < m_begin.container)
            return;
        size_t element = container == m_begin.container ? m_begin.element : 0;
        for (auto i = std::next(from.begin(), static_cast<ptrdiff_t>(element)); i != from.end(); ++i, ++element) {
            if (m_bytes >= m_maxBytes) {
                m_next = PartPosition { container, element };
                return;
            }
            m_bytes += elementSize(*i);
            to.insert(to.end(), *i);
        }
    }

    PartPosition m_begin;
    size_t m_maxBytes;
    size_t m_container = 0; ///< Containers visited so far.
    size_t m_bytes = 0;
    std::optional<PartPosition> m_next;
};

} // namespace detail

/// A part of a state, and where the next one begins, if it is not the last.
template <Record T>
struct StatePart {
    T state;
    std::optional<PartPosition> next;
};

/// Copies the part of a state that begins at `begin`: about `maxBytes` of the elements of its
/// containers when encoded, but at least one element. The first part has all else.
template <Record T>
StatePart<T> copyPart(const T& state, PartPosition begin, size_t maxBytes)
{
    StatePart<T> part;
    detail::PartCopier copier(begin, maxBytes);
    copier.copy(state, part.state);
    part.next = copier.next();
    return part;
}

/// Adds the part of a state that follows those in `state`.
template <Record T>
void appendPart(T& state, T part)
{
    detail::forEachMemberOfBoth<T>(state, part, []<typename Member>(Member& target, Member& source) {
        if constexpr (detail::IsMap<Member>::value)
            target.merge(source);
        else if constexpr (detail::IsVector<Member>::value)
            std::move(source.begin(), source.end(), std::back_inserter(target));
        else if constexpr (Record<Member>)
            appendPart(target, std::move(source));
    });
}

} // namespace eelgrassloft
