package org.knapweedbank.entry;

import java.util.function.Predicate;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.control.ControlService;
import org.knapweedbank.store.cache.PrefixView;

/**
 * Dependencies that are injected into an entry daemon.
 *
 * @param configurationSource source of the configuration in force
 * @param configurationOffer offers a configuration received from another entry; returns true if it
 *     was newer and has been adopted
 * @param clusterView cached view of the store keys below {@code /kwb/c/}
 * @param controlService receiver of the agents' control messages
 * @param claimService service for claims of idempotency keys
 * @param operatorMount mounts the operator routes
 */
public record EntryDependencies(
        ConfigurationSource configurationSource,
        Predicate<SiteConfiguration> configurationOffer,
        PrefixView clusterView,
        ControlService controlService,
        ClaimService claimService,
        OperatorMount operatorMount) {}
