package io.masticfold.core.placement;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which targets were sent a prompt prefix, so that a prefix that has spread to further targets goes on to use
 * their caches. Bounded; the prefix that was used least recently is dropped. Used by one thread.
 */
public final class RecentPrefixes {

    /** Prefixes that are remembered; engines themselves hold far fewer. */
    private static final int MAX_PREFIXES = 4096;

    /** Targets that are remembered for a prefix; more copies would take memory from other prefixes. */
    private static final int MAX_TARGETS = 3;

    private final Map<Long, Set<String>> targets = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> _eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /** Returns the incarnations of the targets that were sent the prefix. */
    public Set<String> targets(PromptPrefix prompt) {
        return prompt.prefixTokens() == 0 ? Set.of() : targets.getOrDefault(prompt.hash(), Set.of());
    }

    /** Records that a target is sent a request with the prefix. */
    public void record(PromptPrefix prompt, String incarnation) {
        if (prompt.prefixTokens() == 0) {
            return;
        }
        Set<String> known = targets.computeIfAbsent(prompt.hash(), _hash -> new LinkedHashSet<>());
        known.remove(incarnation);
        known.add(incarnation);
        if (known.size() > MAX_TARGETS) {
            known.remove(known.iterator().next());
        }
    }
}
