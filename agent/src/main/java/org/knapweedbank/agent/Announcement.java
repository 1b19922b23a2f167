package org.knapweedbank.agent;

/** One announcement of an upstream. */
record Announcement(String service, String address, int slots, int connections, boolean leaving) {}
