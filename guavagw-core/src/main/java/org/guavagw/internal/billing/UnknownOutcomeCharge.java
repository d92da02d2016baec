package org.guavagw.internal.billing;

/** How to charge a request whose entry died before the outcome was known. */
public enum UnknownOutcomeCharge {
  NOTHING {
    @Override
    long micros(BillIntentRecord intent) {
      return 0;
    }
  },
  INPUT_ONLY {
    @Override
    long micros(BillIntentRecord intent) {
      return intent.inputMicros();
    }
  },
  MAXIMUM {
    @Override
    long micros(BillIntentRecord intent) {
      return intent.maxMicros();
    }
  };

  abstract long micros(BillIntentRecord intent);
}
