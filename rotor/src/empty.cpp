namespace corkward::rotor {}
