package org.knapweedbank.entry;

import java.util.function.Predicate;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.control.ControlService;
import org.knapweedbank.store.cache.PrefixView;

/**
 * Parts that an entry daemon is built from.
 *
 * @param source configuration in force
 * @param offer takes a configuration that a peer knows; true if it was newer
 * @param view view of {@code /kwb/c/}
 * @param control receives the control messages of agents
 * @param claims claims of idempotency keys
 * @param operators mounts the operator routes
 */
public record EntryParts(
        ConfigurationSource source,
        Predicate<SiteConfiguration> offer,
        PrefixView view,
        ControlService control,
        ClaimService claims,
        OperatorMount operators) {}
