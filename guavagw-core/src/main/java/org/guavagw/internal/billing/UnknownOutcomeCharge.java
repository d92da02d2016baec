package org.guavagw.internal.billing;

/** What a request is charged whose entry died before its outcome was known. */
public enum UnknownOutcomeCharge {
  NOTHING {
    @Override
    long micros(BillOpening opening) {
      return 0;
    }
  },
  INPUT_ONLY {
    @Override
    long micros(BillOpening opening) {
      return opening.inputMicros();
    }
  },
  MAXIMUM {
    @Override
    long micros(BillOpening opening) {
      return opening.maxMicros();
    }
  };

  abstract long micros(BillOpening opening);
}
