#pragma once

/// Forward declarations of the steering module.

namespace vanilladeck::steering {

class LookupAnswerCounter;
class CreditLedger;
class SenderCredits;
class LookupTable;

}  // namespace vanilladeck::steering
