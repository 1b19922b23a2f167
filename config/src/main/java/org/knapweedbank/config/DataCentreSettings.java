package org.knapweedbank.config;

import org.knapweedbank.model.DataCentreId;

/**
 * A data centre of a site.
 *
 * @param id its name
 * @param region region that it belongs to
 * @param removed true while it is out of service
 */
public record DataCentreSettings(DataCentreId id, String region, boolean removed) {}
