package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Decides what a change does to the generation in force. Pure. */
final class ChangeProposals {
    static final String REQUEST = "request";
    private static final String DATA_CENTRES = "dataCentres";

    private ChangeProposals() {}

    /** Replaces the document; the data centres out of service stay out. */
    static Proposal apply(MergeResult merged, ConfigurationState state, boolean allowNone) {
        String action = "apply";
        if (!merged.isAccepted()) {
            return new Proposal.Refuse(action, merged.errors());
        }
        ObjectNode document = merged.document();
        Set<String> before = state.head().map(ConfigurationHead::removed).orElse(Set.of());
        Set<String> declared = names(document);
        Set<String> removed = new TreeSet<>(before);
        removed.retainAll(declared);
        List<ConfigurationWarning> warnings = new ArrayList<>(merged.warnings());
        before.stream()
                .filter(name -> !declared.contains(name))
                .forEach(name -> warnings.add(noLongerDeclared(name)));
        if (removed.containsAll(declared) && !allowNone) {
            return new Proposal.Refuse(action, List.of(noneLeft(declared)));
        }
        StoredGeneration next = new StoredGeneration(state.number() + 1, removed, document);
        boolean same =
                state.head()
                        .filter(head -> head.digest().equals(ConfigurationCodec.digest(document)))
                        .filter(head -> head.removed().equals(removed))
                        .isPresent();
        return same && state.generation().isPresent()
                ? new Proposal.Nothing(action, warnings)
                : new Proposal.Write(next, action, warnings);
    }

    /** Takes a data centre out of service or back in. */
    static Proposal setRemoved(
            StoredGeneration current, String dataCentre, boolean out, boolean allowNone) {
        String action = (out ? "dc out " : "dc in ") + dataCentre;
        Set<String> declared = names(current.document());
        if (!declared.contains(dataCentre)) {
            String accepted = String.join(", ", declared);
            return new Proposal.Refuse(
                    action, List.of(error("unknown data centre " + dataCentre, accepted)));
        }
        Set<String> removed = new TreeSet<>(current.removed());
        boolean changed = out ? removed.add(dataCentre) : removed.remove(dataCentre);
        if (!changed) {
            return new Proposal.Nothing(action, List.of());
        }
        if (removed.containsAll(declared) && !allowNone) {
            return new Proposal.Refuse(action, List.of(noneLeft(declared)));
        }
        long next = current.generation() + 1;
        return new Proposal.Write(
                new StoredGeneration(next, removed, current.document()), action, List.of());
    }

    private static Set<String> names(ObjectNode document) {
        Iterable<String> names = () -> document.path(DATA_CENTRES).fieldNames();
        return StreamSupport.stream(names.spliterator(), false)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static ConfigurationError noneLeft(Set<String> declared) {
        return error(
                "no data centre left in service of " + String.join(", ", declared),
                "at least one in service, or a confirmation that none is intended");
    }

    private static ConfigurationError error(String found, String accepted) {
        return new ConfigurationError(REQUEST, 0, "$." + DATA_CENTRES, found, accepted);
    }

    private static ConfigurationWarning noLongerDeclared(String name) {
        String message = "data centre " + name + " was out of service and is no longer declared";
        return new ConfigurationWarning(REQUEST, 0, "$." + DATA_CENTRES, message);
    }
}
