package org.knapweedbank.agent;

/**
 * Announcement of an upstream.
 *
 * @param service service that the upstream serves
 * @param address HOST:PORT of the upstream
 * @param slots number of requests that the upstream processes concurrently
 * @param connections maximum number of connections, including those of event streams
 * @param leaving true if the upstream accepts no new requests
 */
record Announcement(String service, String address, int slots, int connections, boolean leaving) {}
