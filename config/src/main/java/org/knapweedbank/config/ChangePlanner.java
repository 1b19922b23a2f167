package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Determines the effect of a change on the generation in force, without side effects. */
final class ChangePlanner {
    /** File name under which errors and warnings about the request itself are reported. */
    static final String REQUEST_NAME = "request";

    private static final String DATA_CENTRES = "dataCentres";

    private ChangePlanner() {}

    /** Plans to replace the document; data centres that are out of service stay out of service. */
    static ChangePlan planApply(
            MergeResult merged, ConfigurationState state, boolean allowNoneInService) {
        String action = "apply";
        if (!merged.isAccepted()) {
            return new ChangePlan.Reject(action, merged.errors());
        }
        ObjectNode document = merged.document();
        Set<String> previouslyRemoved =
                state.head().map(ConfigurationHead::removed).orElse(Set.of());
        Set<String> declared = dataCentreNames(document);
        Set<String> removed = new TreeSet<>(previouslyRemoved);
        removed.retainAll(declared);
        List<ConfigurationWarning> warnings = new ArrayList<>(merged.warnings());
        previouslyRemoved.stream()
                .filter(name -> !declared.contains(name))
                .forEach(name -> warnings.add(undeclaredWarning(name)));
        if (removed.containsAll(declared) && !allowNoneInService) {
            return new ChangePlan.Reject(action, List.of(noneInServiceError(declared)));
        }
        StoredGeneration next =
                new StoredGeneration(state.generationNumber() + 1, removed, document);
        boolean unchanged =
                state.head()
                        .filter(head -> head.digest().equals(ConfigurationCodec.digest(document)))
                        .filter(head -> head.removed().equals(removed))
                        .isPresent();
        return unchanged && state.generation().isPresent()
                ? new ChangePlan.NoChange(action, warnings)
                : new ChangePlan.Write(next, action, warnings);
    }

    /** Plans to take a data centre out of service or to return it to service. */
    static ChangePlan planSetRemoved(
            StoredGeneration current,
            String dataCentre,
            boolean remove,
            boolean allowNoneInService) {
        String action = (remove ? "dc out " : "dc in ") + dataCentre;
        Set<String> declared = dataCentreNames(current.document());
        if (!declared.contains(dataCentre)) {
            String accepted = String.join(", ", declared);
            return new ChangePlan.Reject(
                    action,
                    List.of(dataCentresError("unknown data centre " + dataCentre, accepted)));
        }
        Set<String> removed = new TreeSet<>(current.removed());
        boolean changed = remove ? removed.add(dataCentre) : removed.remove(dataCentre);
        if (!changed) {
            return new ChangePlan.NoChange(action, List.of());
        }
        if (removed.containsAll(declared) && !allowNoneInService) {
            return new ChangePlan.Reject(action, List.of(noneInServiceError(declared)));
        }
        long next = current.generation() + 1;
        return new ChangePlan.Write(
                new StoredGeneration(next, removed, current.document()), action, List.of());
    }

    private static Set<String> dataCentreNames(ObjectNode document) {
        Iterable<String> fieldNames = () -> document.path(DATA_CENTRES).fieldNames();
        return StreamSupport.stream(fieldNames.spliterator(), false)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static ConfigurationError noneInServiceError(Set<String> declared) {
        return dataCentresError(
                "no data centre left in service of " + String.join(", ", declared),
                "at least one in service, or a confirmation that none is intended");
    }

    private static ConfigurationError dataCentresError(String found, String accepted) {
        return new ConfigurationError(REQUEST_NAME, 0, "$." + DATA_CENTRES, found, accepted);
    }

    private static ConfigurationWarning undeclaredWarning(String name) {
        String message = "data centre " + name + " was out of service and is no longer declared";
        return new ConfigurationWarning(REQUEST_NAME, 0, "$." + DATA_CENTRES, message);
    }
}
