package io.masticfold.core.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Names suspects that are quarantined together: only a request that holds all of them is refused. Parts of prompts that
 * were always held by the same crashing requests form a group, since their ends cannot tell which of them is the cause.
 *
 * @param members names of the suspects, one at least
 */
record SuspectGroup(Set<String> members) {

    /** Largest number of members; fewer members refuse more requests. */
    static final int MAX_MEMBERS = 8;

    private static final String SEPARATOR = "-";

    /** Copies the members. */
    SuspectGroup {
        if (members.isEmpty()) {
            throw new IllegalArgumentException("a group must have a member");
        }
        members = Set.copyOf(members);
    }

    /** Returns the group with the first of the given members in the order of their names. */
    static SuspectGroup of(Collection<String> members) {
        return new SuspectGroup(
                Set.copyOf(members.stream().sorted().limit(MAX_MEMBERS).toList()));
    }

    /** Returns the group with a name. Ids of prompt parts do not contain the separator, names of requests do. */
    static SuspectGroup parse(String name) {
        return SuspectKind.of(name) == SuspectKind.REQUEST
                ? new SuspectGroup(Set.of(name))
                : of(List.of(name.split(SEPARATOR, MAX_MEMBERS)));
    }

    /** Returns the name of the group, which is that of its member if it has only one. */
    String name() {
        return String.join(SEPARATOR, new TreeSet<>(members));
    }

    boolean single() {
        return members.size() == 1;
    }

    /** Returns whether each request that the other group refuses is refused by this one, too. */
    boolean covers(SuspectGroup other) {
        return other.members.containsAll(members);
    }

    /** Returns the group without some members, which must leave one. */
    SuspectGroup without(Collection<String> names) {
        Set<String> left = new TreeSet<>(members);
        left.removeAll(names);
        return new SuspectGroup(left);
    }
}
