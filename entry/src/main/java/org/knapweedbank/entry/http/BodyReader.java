package org.knapweedbank.entry.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import org.knapweedbank.entry.CallerLimits;

/** Reads the complete body of a caller's request, within limits of size and time. */
final class BodyReader {
    private final HttpServerRequest mRequest;
    private final CallerLimits mLimits;
    private final Vertx mVertx;
    private final Buffer mBody = Buffer.buffer();
    private boolean mFinished;

    BodyReader(HttpServerRequest request, CallerLimits limits, Vertx vertx) {
        mRequest = request;
        mLimits = limits;
        mVertx = vertx;
    }

    /**
     * Starts to read the body. Neither consumer is called if the connection fails first.
     *
     * @param onBody called with the complete body
     * @param onRejected called with the problem document if a limit is exceeded
     */
    void read(Consumer<Buffer> onBody, Consumer<Problem> onRejected) {
        if (declaredLength() > mLimits.maxBodyBytes()) {
            onRejected.accept(bodyTooLarge());
            return;
        }
        if ("100-continue".equalsIgnoreCase(mRequest.getHeader("Expect"))) {
            mRequest.response().writeContinue();
        }
        long timer =
                mVertx.setTimer(
                        mLimits.bodyTimeout().toMillis(),
                        ignored -> deliverOnce(onRejected, bodyTimedOut()));
        mRequest.handler(
                chunk -> {
                    if (!mFinished && mBody.length() + chunk.length() > mLimits.maxBodyBytes()) {
                        mVertx.cancelTimer(timer);
                        deliverOnce(onRejected, bodyTooLarge());
                    } else if (!mFinished) {
                        mBody.appendBuffer(chunk);
                    }
                });
        mRequest.exceptionHandler(
                e -> {
                    mVertx.cancelTimer(timer);
                    mFinished = true;
                });
        mRequest.endHandler(
                ignored -> {
                    mVertx.cancelTimer(timer);
                    deliverOnce(onBody, mBody);
                });
    }

    /** Passes the outcome to its consumer, unless the reader has already finished. */
    private <T> void deliverOnce(Consumer<T> consumer, T value) {
        if (!mFinished) {
            mFinished = true;
            consumer.accept(value);
        }
    }

    private long declaredLength() {
        String text = mRequest.getHeader("Content-Length");
        return text != null && text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    private Problem bodyTooLarge() {
        return Problem.notRun(
                413,
                "body-too-large",
                "Content too large",
                "the body exceeds " + mLimits.maxBodyBytes() + " bytes");
    }

    private Problem bodyTimedOut() {
        return Problem.notRun(
                408,
                "body-timeout",
                "Request timeout",
                "the body did not arrive within " + mLimits.bodyTimeout().toSeconds() + " s");
    }
}
