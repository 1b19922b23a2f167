package org.knapweedbank.agent;

/** Thrown when an announcement is malformed or cannot be accepted. */
final class AnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    AnnouncementException(String message) {
        super(message);
    }
}
