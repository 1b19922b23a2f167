package org.knapweedbank.config;

import org.knapweedbank.model.DataCentreId;

/**
 * A data centre of a site.
 *
 * @param id identifier of the data centre
 * @param region region that the data centre belongs to
 * @param removed true while the data centre is out of service
 */
public record DataCentreSettings(DataCentreId id, String region, boolean removed) {}
