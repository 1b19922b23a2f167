package org.knapweedbank.control;

import org.knapweedbank.model.DataCentreId;

/**
 * Identity of an entry as an owner of partitions.
 *
 * @param id identifier of the entry
 * @param frameAddress HOST:PORT of the entry's frame listener, to which agents connect
 * @param dataCentre data centre in which the entry runs
 */
public record EntryIdentity(String id, String frameAddress, DataCentreId dataCentre) {}
