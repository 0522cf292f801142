package io.masticfold.gateway.http;

import org.jspecify.annotations.Nullable;

/** What is expected next of a response. */
enum SyntaxState {
    VERSION {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            if (!response.matches(PROTOCOL, next)) {
                return null;
            }
            return response.matchedAll(PROTOCOL) ? MINOR_VERSION : VERSION;
        }
    },
    MINOR_VERSION {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return next == '0' || next == '1' ? SPACE_BEFORE_CODE : null;
        }
    },
    SPACE_BEFORE_CODE {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return next == ' ' ? STATUS_CODE : null;
        }
    },
    STATUS_CODE {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            int digit = Character.digit(next, 10);
            if (digit < 0 || !response.addCodeDigit(digit)) {
                return null;
            }
            return response.codeComplete() ? AFTER_CODE : STATUS_CODE;
        }
    },
    AFTER_CODE {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return next == ' ' ? REASON : endOfLine(next, LINE_FEED);
        }
    },
    REASON {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return isText(next) ? REASON : endOfLine(next, LINE_FEED);
        }
    },
    LINE_FEED {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return next == '\n' ? LINE_START : null;
        }
    },
    LINE_START {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            return isToken(next) ? response.beginName(next) : endOfLine(next, END_OF_HEAD);
        }
    },
    FIELD_NAME {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            if (next == ':') {
                response.endName();
                return FIELD_VALUE;
            }
            response.addToName(next);
            return isToken(next) ? FIELD_NAME : null;
        }
    },
    FIELD_VALUE {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            if (isText(next)) {
                response.addToValue(next);
                return FIELD_VALUE;
            }
            return next == '\r' && response.endField() ? LINE_FEED : null;
        }
    },
    END_OF_HEAD {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            return next == '\n' ? response.endHead() : null;
        }
    },
    CHUNK_SIZE {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            int digit = next < 0x80 ? Character.digit(next, 16) : -1;
            if (digit >= 0) {
                return response.addSizeDigit(digit) ? CHUNK_SIZE : null;
            }
            if (!response.sizeBegun()) {
                return null;
            }
            return next == ';' ? CHUNK_EXTENSION : endOfLine(next, CHUNK_LINE_FEED);
        }
    },
    CHUNK_EXTENSION {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return isText(next) ? CHUNK_EXTENSION : endOfLine(next, CHUNK_LINE_FEED);
        }
    },
    CHUNK_LINE_FEED {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            if (next != '\n') {
                return null;
            }
            return response.lastChunk() ? TRAILER_START : CHUNK_DATA;
        }
    },
    CHUNK_DATA_CR {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return endOfLine(next, CHUNK_DATA_LF);
        }
    },
    CHUNK_DATA_LF {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax response, int next) {
            return next == '\n' ? response.beginChunk() : null;
        }
    },
    TRAILER_START {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return isToken(next) ? TRAILER_NAME : endOfLine(next, END_OF_TRAILERS);
        }
    },
    TRAILER_NAME {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            if (next == ':') {
                return TRAILER_VALUE;
            }
            return isToken(next) ? TRAILER_NAME : null;
        }
    },
    TRAILER_VALUE {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return isText(next) ? TRAILER_VALUE : endOfLine(next, TRAILER_LINE_FEED);
        }
    },
    TRAILER_LINE_FEED {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return next == '\n' ? TRAILER_START : null;
        }
    },
    END_OF_TRAILERS {
        @Override
        @Nullable
        SyntaxState next(ResponseSyntax _response, int next) {
            return next == '\n' ? ENDED : null;
        }
    },
    /** The bytes of a body whose length is known. */
    BODY,
    /** The bytes of a chunk. */
    CHUNK_DATA,
    /** The bytes of a body that ends with the connection. */
    UNTIL_CLOSE,
    ENDED;

    private static final String PROTOCOL = "HTTP/1.";
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    /** Returns what is expected after a byte, or null if the byte is not allowed here. */
    @Nullable
    SyntaxState next(ResponseSyntax _response, int _next) {
        return this;
    }

    private static @Nullable SyntaxState endOfLine(int next, SyntaxState following) {
        return next == '\r' ? following : null;
    }

    private static boolean isToken(int next) {
        return (next >= 'a' && next <= 'z')
                || (next >= 'A' && next <= 'Z')
                || (next >= '0' && next <= '9')
                || TOKEN_MARKS.indexOf(next) >= 0;
    }

    /** Returns whether a byte may occur in a value, a reason phrase or a chunk extension. */
    private static boolean isText(int next) {
        return next == '\t' || (next >= ' ' && next != 0x7f);
    }
}
