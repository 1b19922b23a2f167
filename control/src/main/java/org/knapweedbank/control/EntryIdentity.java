package org.knapweedbank.control;

import org.knapweedbank.model.DataCentreId;

/**
 * The entry that owns partitions.
 *
 * @param id its identifier
 * @param frameAddress HOST:PORT of its frame listener
 * @param dataCentre its data centre
 */
public record EntryIdentity(String id, String frameAddress, DataCentreId dataCentre) {}
