package org.knapweedbank.entry.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import org.knapweedbank.entry.CallerLimits;

/** Collects the body of a caller's request within the limits of size and time. */
final class BodyReader {
    private final HttpServerRequest mRequest;
    private final CallerLimits mLimits;
    private final Vertx mVertx;
    private final Buffer mBody = Buffer.buffer();
    private boolean mDone;

    BodyReader(HttpServerRequest request, CallerLimits limits, Vertx vertx) {
        mRequest = request;
        mLimits = limits;
        mVertx = vertx;
    }

    /**
     * Reads the body.
     *
     * @param whole receives the whole body
     * @param refused receives the problem when a limit is exceeded
     */
    void read(Consumer<Buffer> whole, Consumer<Problem> refused) {
        if (declaredLength() > mLimits.maxBodyBytes()) {
            refused.accept(tooLarge());
            return;
        }
        if ("100-continue".equalsIgnoreCase(mRequest.getHeader("Expect"))) {
            mRequest.response().writeContinue();
        }
        long timer =
                mVertx.setTimer(
                        mLimits.bodyTimeout().toMillis(), ignored -> finish(refused, timeout()));
        mRequest.handler(
                part -> {
                    if (!mDone && mBody.length() + part.length() > mLimits.maxBodyBytes()) {
                        mVertx.cancelTimer(timer);
                        finish(refused, tooLarge());
                    } else if (!mDone) {
                        mBody.appendBuffer(part);
                    }
                });
        mRequest.exceptionHandler(
                e -> {
                    mVertx.cancelTimer(timer);
                    mDone = true;
                });
        mRequest.endHandler(
                ignored -> {
                    mVertx.cancelTimer(timer);
                    finish(whole, mBody);
                });
    }

    private <T> void finish(Consumer<T> receiver, T value) {
        if (!mDone) {
            mDone = true;
            receiver.accept(value);
        }
    }

    private long declaredLength() {
        String text = mRequest.getHeader("Content-Length");
        return text != null && text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    private Problem tooLarge() {
        return Problem.notRun(
                413,
                "body-too-large",
                "Content too large",
                "the body exceeds " + mLimits.maxBodyBytes() + " bytes");
    }

    private Problem timeout() {
        return Problem.notRun(
                408,
                "body-timeout",
                "Request timeout",
                "the body did not arrive within " + mLimits.bodyTimeout().toSeconds() + " s");
    }
}
